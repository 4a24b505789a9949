// Package peerapi implements the peer protocol between instances: the protobuf
// messages, the generated connect-go code (packages peerv1 and peerv1connect)
// and the HTTP/2 clients and servers that carry them. `make generate` rebuilds
// the generated code.
package peerapi
