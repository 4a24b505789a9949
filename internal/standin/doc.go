// Package standin stands in for the outside systems of section 11 of
// docs/design.md: the configuration service, engines and the order service.
// It records what each of them ran so that a checker can compare the records
// with what callers saw. It is used by tests, the demo and load runs only.
package standin
