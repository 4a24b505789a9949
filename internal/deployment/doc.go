// Package deployment holds what a deployment publishes, decoded once: the settings of
// an instance, the configuration in force, the targets and the facts of one
// request. The types say what the fields hold, whatever the platform calls
// them; package platform fills them in. Nothing here decides.
package deployment
