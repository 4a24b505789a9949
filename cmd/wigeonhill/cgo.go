//go:build cgo

package main

// Links the program to the C library, as the platform requires.
import _ "runtime/cgo"
