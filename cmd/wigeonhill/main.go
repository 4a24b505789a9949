// Command wigeonhill is a multi-region inference gateway.
package main

func main() {}
