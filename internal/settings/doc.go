// Package settings reads settings in protobuf text format, validates them, and converts those of a gateway into the types that its
// components take: policy.Settings, endpointstate.Rules and Limits.
//
// The range of each field is part of the schema (proto/, option allowed) and is checked for any message. Constraints between fields
// are checked in gateway.go. The field names are part of the format and must not change; policy.go, rules.go and limits.go map them
// to the names used in the code.
package settings
