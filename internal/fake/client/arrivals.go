package client

import (
	"fmt"
	"math"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// drawArrival draws the time to the next request and its volume.
func (l *Load) drawArrival() (time.Duration, *Volume) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates, sum := make([]float64, len(l.config.Volumes)), 0.0
	for i := range l.config.Volumes {
		rates[i] = l.rate(&l.config.Volumes[i])
		sum += rates[i]
	}
	interval := time.Duration(l.random.ExpFloat64() * l.config.MeanUnits / math.Max(sum, 1e-9) * float64(time.Second))
	remaining, index := l.random.Float64()*sum, 0
	for index = range rates {
		if remaining -= rates[index]; remaining < 0 {
			break
		}
	}
	return interval, &l.config.Volumes[index]
}

// rate returns the current demand of a volume in units a second. The caller holds mu.
func (l *Load) rate(volume *Volume) float64 {
	rate := volume.Demand * l.rateMultiple
	if multiple := l.planMultiples[volume.Plan]; multiple > 0 {
		rate *= multiple
	}
	return rate
}

// newRequest draws a request of a volume and sends it. mainGatewayMoves counts how often the volume's main gateway has
// changed. A change of the number or the order of the draws changes the load of every seed.
func (l *Load) newRequest(volume *Volume, mainGatewayMoves int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &request{volume: volume, units: 1, shard: volume.Shards[l.random.Intn(len(volume.Shards))]}
	r.class = l.drawClass()
	for another := 1 - 1/math.Max(l.config.MeanUnits, 1); r.units < l.config.MaxUnits && l.random.Float64() < another; {
		r.units++
	}
	class := l.config.QueueTypes[r.class]
	l.drawObject(r, class)
	r.deadline = time.Now().Add(l.drawTimeout(class))
	l.openRequests++
	gateway := volume.Gateways[mainGatewayMoves%len(volume.Gateways)]
	if l.random.Float64() < otherGatewayShare {
		gateway = volume.Gateways[l.random.Intn(len(volume.Gateways))]
	}
	l.send(r, gateway)
}

// otherGatewayShare is the share of requests that go to a random gateway of the volume instead of its main one.
const otherGatewayShare = 0.4

// drawClass draws a request class by its share. The caller holds mu.
func (l *Load) drawClass() (class int) {
	remaining := l.random.Float64()
	for i, share := range l.config.Load.Mix {
		class = i
		if remaining -= share; remaining < 0 {
			break
		}
	}
	return class
}

// drawObject draws the object. It overrides the shard for the hot object and for new objects. The caller holds mu.
func (l *Load) drawObject(r *request, class *pb.QueueType) {
	r.object = fmt.Sprintf("%s/%d", r.volume.Name, l.random.Intn(max(int(l.config.Load.Objects), 1)))
	if l.hotShare > 0 && l.random.Float64() < l.hotShare {
		r.object, r.shard = r.volume.Name+"/hot", r.volume.Shards[0]
	} else if class.Writes && l.random.Float64() < l.config.Load.NewObjects {
		r.shard = anyShard
	}
}

// anyShard lets the gateway choose the shard of a new object.
const anyShard = -1

// drawTimeout draws the client's timeout. The caller holds mu.
func (l *Load) drawTimeout(class *pb.QueueType) time.Duration {
	timeout := settings.Duration(class.CommandTimeout, 0)
	if share := l.config.Load.Impatient; share > 0 && l.random.Float64() < share {
		timeout = time.Duration((0.2 + 0.8*l.random.Float64()) * float64(timeout))
	}
	return timeout
}
