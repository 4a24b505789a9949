//go:build cgo

package main

// The platform runs programs that are linked to the C library.
import _ "runtime/cgo"
