// Package confservice calls the configuration service and parses what it
// publishes: the text of the table and the list of live and leaving instances.
package confservice
