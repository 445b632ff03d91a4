package storagenode

import (
	"sync"
	"time"
)

// Meter adds up the units served for each volume by all nodes, and reports the last complete period with a delay.
type Meter struct {
	Period      time.Duration
	ReportDelay time.Duration               // after the end of a period
	Nominal     func(volume string) float64 // units a second

	mu    sync.Mutex
	start time.Time
	units map[string]map[int64]float64 // by volume and number of the period
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

// keptPeriods is how many periods a meter remembers.
const keptPeriods = 16

// lastPeriod returns 1 plus the use of a volume in percent of its nominal rate, in the last period that is reported; 0 before
// the first.
func (m *Meter) lastPeriod(volume string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := int64((time.Since(m.start)-m.ReportDelay)/m.Period) - 1
	if period < 0 {
		return 0
	}
	return 1 + 100*m.units[volume][period]/m.Period.Seconds()/max(m.Nominal(volume), 1e-9)
}
