// Command standin stands in for the outside systems in tests and demos.
package main

func main() {}
