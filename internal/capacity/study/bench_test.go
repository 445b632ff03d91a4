package study

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/learn"
	"weirhaven/internal/capture"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// largeFleet returns a fleet of a given size, its model, and a load on it.
func largeFleet(endpoints, gateways int, rate float64, length time.Duration) (*pb.CapacityFleet, *pb.CapacityModel, []demand.Request) {
	f, m := fleet()
	f.Brick, f.Host = nil, nil
	for i := range endpoints {
		f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprint("b", i), Kind: "single", Zone: []string{"north", "south"}[i%2], Cell: uint32(i)})
	}
	for i := range gateways {
		f.Host = append(f.Host, &pb.HostLine{Name: fmt.Sprint("h", i), Zone: "north", Commands: 100000})
	}
	w := load(rate, 0, length, "basic", 0.3, 1)
	for i := range w {
		v := i * 7919 % (4 * endpoints)
		w[i].Volume, w[i].Gateway = fmt.Sprint("v", v), fmt.Sprint("h", (v+i%2)%gateways)
		if w[i].Shard >= 0 {
			w[i].Shard = (v + i%3) % endpoints
		}
	}
	return f, m, w
}

// BenchmarkAnswer measures how long it takes to find the load limit with its confidence interval, as the fleet and the capture grow.
func BenchmarkAnswer(b *testing.B) {
	for _, c := range []struct {
		endpoints, gateways int
		rate                float64
		length              time.Duration
	}{{9, 36, 160, 10 * time.Minute}, {45, 180, 800, 10 * time.Minute}, {45, 180, 800, time.Hour}, {90, 360, 1600, 10 * time.Minute}} {
		b.Run(fmt.Sprintf("%dx%d/%v", c.endpoints, c.gateways, c.length), func(b *testing.B) {
			f, m, w := largeFleet(c.endpoints, c.gateways, c.rate, c.length)
			for b.Loop() {
				s := &Study{Fleet: f, Model: m, Requests: w, Seed: 1}
				if err := s.Prepare(); err != nil {
					b.Fatal(err)
				}
				g, err := s.FindLoadLimit(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(g.Probes)), "loads")
			}
			b.ReportMetric(float64(len(w)), "commands")
		})
	}
}

// BenchmarkLearn measures how long it takes to read a capture and to learn a model from it, per million requests.
func BenchmarkLearn(b *testing.B) {
	f, m, w := largeFleet(45, 180, 800, 30*time.Second)
	var lines []*pb.Captured
	if _, err := forecast.Run(forecast.Scenario{Fleet: f, Model: m, Requests: w, Seed: 1, Observe: func(h string) engine.Observer { return captureObserver{h, &lines} }}); err != nil {
		b.Fatal(err)
	}
	sortByTime(lines)
	l := &capture.Load{Heads: []*pb.CaptureHead{{Version: capture.Version, Host: "h"}}, Records: lines}
	var file bytes.Buffer
	if err := l.Write(&file); err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	for b.Loop() {
		if _, _, err := capture.ReadSegment(bytes.NewReader(file.Bytes()), func(*pb.Captured) error { return nil }); err != nil {
			b.Fatal(err)
		}
		_, c := demand.FoldRetries(lines)
		if _, err := learn.Model(lines, f, c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(time.Since(start).Seconds()/float64(b.N)/float64(len(lines))*1e6, "s/million")
	b.ReportMetric(float64(file.Len())/float64(len(lines)), "bytes/command")
}
