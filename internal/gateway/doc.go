// Package gateway is the data plane over the line protocol (docs/protocol.md): one Gateway takes requests of clients and has them
// served by storage endpoints. All decisions are the scheduler's (package policy), which package engine runs in one goroutine, the
// loop. This package is what surrounds the loop:
//
//	clientconn.go, request.go  client connections: requests in, responses out
//	operator.go                an operator's verbs on a client connection
//	outbound.go                what the engine sends: to endpoints, to the endpoint list service, to peers
//	peers.go, gossip.go        datagrams between gateways
//	controlplane.go, volumes.go  the control plane's snapshot, and the volumes that it and the settings name
//	persistence.go             beliefs and members on disk
//	objects.go, capture.go     objects over HTTP; the recorded load
//	command.go, run.go, listener.go, shutdown.go  start, accept, graceful shutdown
//	statelog.go, fleetview.go  logged totals, the operator's table
//
// The loop owns the engine's Core; everything else reaches it by posting an event. No event waits for a client, an endpoint
// or the disk: what is written is queued (lineproto.Sender) or sent as a datagram.
package gateway
