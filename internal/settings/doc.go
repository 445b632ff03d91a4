// Package settings reads settings as protobuf text format, checks them, and turns those of a gateway into what its parts take:
// policy.Settings, endpointstate.Rules and Limits.
//
// The range of each field stands in the schema (proto/, option allowed) and is checked for any message. What only several
// fields together show is checked in gateway.go. The names of fields are the format's and stay; policy.go, rules.go and limits.go
// map them to the code's terms.
package settings
