// Package server is the controller as a program: gRPC, timers and the store around the decisions of package statemachine.
//
// Each gateway has one stream (Follow). The controller keeps no queue for it: a goroutine for each stream works out what the gateway
// lacks whenever the stream can take more, so a gateway that reads slowly costs no memory, and one that takes nothing for
// Options.StallTimeout is cut off.
//
// One mutex guards the state machine, the endpoints' state and the tables of streams and reports. It is never held while something is
// sent. It is held while the state machine persists a change: what is given out must be on disk.
//
// Goroutines: Run's own serves gRPC; one sends heartbeats, one reads the endpoint list, one stops the server; each stream has its
// handler, a sender and a receiver. Run returns after all have ended.
package server
