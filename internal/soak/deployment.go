package soak

import (
	"time"
)

// Deployment is the platform's limits for each process of a run, and the deadline of its requests.
type Deployment struct {
	MemoryMB       int           // memory limit of a process, in MiB
	Sockets        int           // most descriptors of a process
	RequestTimeout time.Duration // deadline of every request class
	Cores          float64       // share of a core of a process that hostile clients attack; 0: no limit
}

// deployments are drawn by the seed: the usual one, one whose SIGKILL follows SIGTERM soon, one whose deadline is longer than the
// time until SIGKILL, and one with the least memory beside the most descriptors.
var deployments = []Deployment{
	{MemoryMB: 32, Sockets: 1024, RequestTimeout: time.Second, Cores: 0.25},
	{MemoryMB: 64, Sockets: 96, RequestTimeout: time.Second},
	{MemoryMB: 64, Sockets: 96, RequestTimeout: time.Second},
	{MemoryMB: 48, Sockets: 256, RequestTimeout: 300 * time.Millisecond},
	{MemoryMB: 48, Sockets: 1024, RequestTimeout: 300 * time.Millisecond, Cores: 0.28},
	{MemoryMB: 96, Sockets: 256, RequestTimeout: 4 * time.Second},
}

// DeploymentOf returns the deployment of a seed.
func DeploymentOf(seed int64) Deployment {
	n := int64(len(deployments))
	return deployments[((seed%n)+n)%n]
}

// maxKillDelay is the longest deadline that counts for the time between SIGTERM and SIGKILL.
const maxKillDelay = 3 * time.Second

// killDelay returns the time between SIGTERM and SIGKILL, the earliest that the platform allows.
func (d Deployment) killDelay() time.Duration { return min(d.RequestTimeout, maxKillDelay) + killGrace }

// defaultCores is the share of a core in the configuration of a process whose CPU is not limited.
const defaultCores = 0.5

// cores returns the share of a core that the configuration tells.
func (d Deployment) cores() float64 {
	if d.Cores > 0 {
		return d.Cores
	}
	return defaultCores
}

// latencyObjective returns the latency objective of every request class.
func (d Deployment) latencyObjective() time.Duration { return d.RequestTimeout * 2 / 5 }

// maxGoroutines is the most goroutines of a process: two for each descriptor, and some for the rest of the program.
func (d Deployment) maxGoroutines() int { return 2*d.Sockets + 50 }
