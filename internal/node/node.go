package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// Node is one instance.
type Node struct{}

// New builds an instance from its settings.
func New(*settings.Settings, string, *event.Logger) (*Node, error) {
	return nil, errors.New("serve is not wired yet")
}

// Run serves until ctx ends.
func (n *Node) Run(context.Context) error { return nil }
