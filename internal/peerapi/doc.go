// Package peerapi is the protocol between instances: the protobuf messages,
// the generated connect-go code (package peerv1 and peerv1connect) and the
// HTTP clients and servers that carry them. `make generate` rebuilds the
// generated code.
package peerapi
