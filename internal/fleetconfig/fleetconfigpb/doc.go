// Package fleetconfigpb holds the Go types that protoc-gen-go makes of internal/fleetconfig/config.proto.
package fleetconfigpb
