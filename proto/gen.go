// Package proto holds the schemas; what protoc makes of them is in internal/pb.
package proto

//go:generate protoc -I . --go_out=.. --go_opt=module=weirhaven --go-grpc_out=.. --go-grpc_opt=module=weirhaven rules.proto edge.proto drill.proto record.proto fleet.proto capture.proto capacity.proto plan.proto object.proto
