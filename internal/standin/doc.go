// Package standin simulates the external systems of section 11 of
// docs/design.md: the configuration service with the model registry, engines
// and the order service. Each simulated system records the requests that it
// ran, so that a checker can compare the records with what callers saw. Only
// tests, the demo and load runs use the package.
package standin
