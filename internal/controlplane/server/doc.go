// Package server implements the controller process: gRPC, timers and the store around the decisions of package statemachine.
//
// Each gateway has one stream (Follow). The controller keeps no queue per stream. Instead, a goroutine per stream determines what
// the gateway lacks whenever the stream can accept more. A gateway that reads slowly therefore uses no memory of the controller,
// and a gateway that accepts nothing for Options.StallTimeout is disconnected.
//
// One mutex guards the state machine, the endpoints' state and the tables of streams and reports. It is never held while a message
// is sent. It is held while the state machine persists a change, since only persisted state may be sent.
//
// The goroutine of Run serves gRPC. One goroutine sends heartbeats, one reads the endpoint list and one stops the server. Each
// stream has a handler, a sender and a receiver. Run returns after all of them have ended.
package server
