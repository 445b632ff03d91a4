// Package gateway is the data plane over the line protocol (docs/protocol.md): a Gateway receives requests from clients and sends
// attempts to storage endpoints. The scheduler (package policy) makes all decisions; package engine runs it in one goroutine, the
// loop. This package contains everything around the loop:
//
//	clientconn.go, request.go  client connections: requests in, responses out
//	operator.go                operator commands on a client connection
//	outbound.go                what the engine sends: to endpoints, to the endpoint list service, to peers
//	peers.go, gossip.go        datagrams to and from other gateways
//	controlplane.go, volumes.go  the control plane's snapshot, and the table of volumes
//	persistence.go             the store: endpoint beliefs and members on disk
//	objects.go, capture.go     object API over HTTP; capture of requests
//	command.go, run.go, listener.go, shutdown.go  start, accept, graceful shutdown
//	statelog.go, fleetview.go  periodic log line of totals; the fleet table for operators
//
// The loop owns the engine's Core; other goroutines access it by posting events. No event blocks on a client, an endpoint or the
// disk: outgoing messages are queued (lineproto.Sender) or sent as datagrams.
package gateway
