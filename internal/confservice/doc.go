// Package confservice is a client of the configuration service, which publishes
// the text of the configuration and the list of live and leaving instances. It
// also parses that list and fetches the cache events of engines.
package confservice
