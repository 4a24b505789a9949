// Command loadtool drives a running set of processes and checks the answers.
package main

func main() {}
