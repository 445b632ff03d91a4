package storagenode

import (
	"sync"
	"time"
)

// Meter adds up the units that all nodes serve for each volume, and reports the last complete period after a delay. Its
// methods may be called from any goroutine.
type Meter struct {
	Period      time.Duration
	ReportDelay time.Duration               // delay of a period's report after its end
	Nominal     func(volume string) float64 // nominal rate of a volume, in units a second

	mu    sync.Mutex
	start time.Time
	units map[string]map[int64]float64 // units served, by volume and number of the period
}

// NewMeter returns a meter whose first period begins now. nominal is the nominal rate of a volume in units a second.
func NewMeter(period, reportDelay time.Duration, nominal func(string) float64) *Meter {
	return &Meter{Period: period, ReportDelay: reportDelay, Nominal: nominal, start: time.Now(), units: map[string]map[int64]float64{}}
}

// add adds units served for a volume.
func (m *Meter) add(volume string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := int64(time.Since(m.start) / m.Period)
	byPeriod := m.units[volume]
	if byPeriod == nil {
		byPeriod = map[int64]float64{}
		m.units[volume] = byPeriod
	}
	byPeriod[period] += units
	for old := range byPeriod {
		if old < period-keptPeriods {
			delete(byPeriod, old)
		}
	}
}

// keptPeriods is the number of periods for which a meter keeps the units.
const keptPeriods = 16

// lastPeriod returns 1 plus the use of a volume, in percent of its nominal rate, in the last reported period. It returns 0
// before the first report.
func (m *Meter) lastPeriod(volume string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := int64((time.Since(m.start)-m.ReportDelay)/m.Period) - 1
	if period < 0 {
		return 0
	}
	return 1 + 100*m.units[volume][period]/m.Period.Seconds()/max(m.Nominal(volume), 1e-9)
}
