// Package deployment defines the decoded form of what the platform supplies: the
// settings of an instance, the configuration that operators publish, the targets,
// and the metadata of a request. Fields are named for what they hold rather than
// after the platform's names; package platform does the decoding. This package
// makes no policy decisions.
package deployment
