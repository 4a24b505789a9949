// Package instance builds the managers of an instance that runs on a platform
// without published members or shares, and runs them.
package instance
