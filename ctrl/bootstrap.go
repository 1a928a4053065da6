package ctrl

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// openDisk opens the data folder. With the setting Found, at the first start of a deployment, a new data folder of a
// seed starts with the bootstrap snapshot of the control log, and that of another host with an identity that tells it is a founder's.
func openDisk(n conf.Node) (*store.Disk, error) {
	if !n.Bootstrap {
		d, _, err := store.OpenDisk(n.DataFolder)
		return d, err
	}
	return store.BootstrapDisk(n.DataFolder, bootstrapDisk, bootstrapSnapshot(n))
}

// bootstrapDisk is the disk identity of all seeds at the first start of a deployment, and that of the other hosts that start
// then begins with it. A disk that replaces a lost one gets another identity.
const bootstrapDisk = "founder"

// bootstrapIndex is the index of the bootstrap snapshot. Logs of deployments that have run are longer.
const bootstrapIndex = 1

// bootstrapSnapshot returns the snapshot that each seed starts from. All seeds have the same list of seeds in their
// settings and so derive the same peers. It returns an empty snapshot on a host that isn't a seed.
func bootstrapSnapshot(n conf.Node) quorum.Snapshot {
	var l []quorum.NodeID
	o := false
	for _, a := range n.SeedPeers() {
		l = append(l, Node(a, bootstrapDisk))
		o = o || a == n.PeerAddress()
	}
	if !o {
		return quorum.Snapshot{}
	}
	return quorum.Snapshot{Index: bootstrapIndex, Term: 1, Peers: BootstrapPeers(l)}
}

func newStartID() string { return rand.Text()[:10] }

func randomSeed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return uint64(time.Now().UnixNano())
	}
	return binary.LittleEndian.Uint64(b[:])
}
