// Package fleetconfigpb contains the Go types that protoc-gen-go generates from internal/fleetconfig/config.proto.
package fleetconfigpb
