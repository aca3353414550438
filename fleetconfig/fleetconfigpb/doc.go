// Package fleetconfigpb holds the Go types that protoc-gen-go makes of fleetconfig/config.proto.
package fleetconfigpb
