package replicator

import "testing"

// FuzzDecodeMessage checks that DecodeMessage doesn't panic, whatever the data.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(EncodeMessage(Message{Term: 3, Body: AppendEntries{Commit: 2}}))
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeMessage(data) })
}
