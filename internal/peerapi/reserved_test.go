package peerapi

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Guards against a removed field whose number or name is used again, and against
// messages of the previous version, which still sends it, that are refused or misread.
func TestRemovedFieldsAreReservedAndIgnored(t *testing.T) {
	for _, c := range []struct {
		message proto.Message
		fields  map[protoreflect.FieldNumber]protoreflect.Name
	}{
		{&peerv1.ForwardRequest{Hop: 1}, map[protoreflect.FieldNumber]protoreflect.Name{21: "waited_ms"}},
		{&peerv1.FleetRow{Sequence: 1}, map[protoreflect.FieldNumber]protoreflect.Name{20: "urgent"}},
		{&peerv1.InstanceLoad{CpuMillicores: 1}, map[protoreflect.FieldNumber]protoreflect.Name{9: "running"}},
		{&peerv1.PoolUse{Running: 1}, map[protoreflect.FieldNumber]protoreflect.Name{5: "queued", 6: "oldest_wait_ms", 7: "freed_per_s", 8: "forwarded", 9: "slots"}},
	} {
		d := c.message.ProtoReflect().Descriptor()
		b, err := proto.Marshal(c.message)
		if err != nil {
			t.Fatal(err)
		}
		for number, name := range c.fields {
			if !d.ReservedRanges().Has(number) || !d.ReservedNames().Has(name) {
				t.Errorf("%s: %d (%s) is not reserved", d.Name(), number, name)
			}
			if name == "freed_per_s" {
				b = protowire.AppendFixed32(protowire.AppendTag(b, number, protowire.Fixed32Type), 7)
			} else {
				b = protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), 7)
			}
		}
		got := c.message.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(b, got); err != nil {
			t.Errorf("%s: %v", d.Name(), err)
		}
		got.ProtoReflect().SetUnknown(nil)
		if !proto.Equal(got, c.message) {
			t.Errorf("%s: read as %v, want %v", d.Name(), got, c.message)
		}
	}
}
