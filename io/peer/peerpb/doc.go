// Package peerpb holds the messages and the service that entry instances offer
// to each other, generated from peer.proto.
package peerpb

//go:generate ./generate.sh
