package node

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// openReplica opens the data folder, once no other process uses it: the one before may still be
// draining. It first creates its contents if it is empty. While the disk has no space for them,
// it tries again until ctx ends.
func (n *Node) openReplica(ctx context.Context) error {
	if err := n.ownFolder(ctx); err != nil {
		return err
	}
	err := n.openFolder()
	if result.CodeOf(err) != result.DataMissing {
		return err
	}
	hasLog, err := n.folder.HasLog()
	if err != nil {
		return err
	}
	if hasLog {
		n.log.Warn("Data folder has a log without an identity: only joining a running group replaces it.", "dir", n.cfg.DataFolder)
	}
	absence := control.NewAbsence(n.cfg.DataFolder, n.cfg.PeerAddress, n.client, n.log.WithPrefix("control"))
	if err := n.retryWithoutSpace(ctx, func() error { return n.createFolder(ctx, absence, hasLog) }); err != nil {
		return err
	}
	return n.openFolder()
}

// ownFolder makes this process the owner of the data folder, which it creates if it is missing.
func (n *Node) ownFolder(ctx context.Context) (err error) {
	logger := n.log.WithPrefix("control")
	n.folder, err = control.OwnFolder(ctx, n.cfg.DataFolder, n.cfg.listenAddress(), logger)
	if result.CodeOf(err) != result.DataMissing {
		return err
	}
	if err = n.retryWithoutSpace(ctx, func() error { return storage.MakeFolder(n.cfg.DataFolder) }); err != nil {
		return err
	}
	n.folder, err = control.OwnFolder(ctx, n.cfg.DataFolder, n.cfg.listenAddress(), logger)
	return err
}

// retryWithoutSpace calls f until it fails for another reason than a lack of space, or ctx ends.
func (n *Node) retryWithoutSpace(ctx context.Context, f func() error) error {
	for reported := false; ; {
		err := f()
		if !storage.LacksSpace(err) {
			return err
		}
		if !reported {
			n.log.Error("Data folder has no space for its first files; trying again.", "err", err.Error())
			reported = true
		}
		if !periodic.Pause(ctx, createRetryDelay) {
			return err
		}
	}
}

// createFolder creates the contents of an empty data folder, as a founder on the first start
// of the deployment, otherwise as a learner of the running group. A founder that is to join
// once stays with it, because it may have answered that the voter that has run here is absent. A
// folder with a log is that of a replica of a group that was formed, so its founder joins, too.
// The node listens all the time, so that no vote request of an early election is lost.
func (n *Node) createFolder(ctx context.Context, absence *control.Absence, hasLog bool) error {
	form, register := false, absence.Register
	var founding *control.Founding
	if n.cfg.FirstStart && n.isFounder() && !absence.Begun() && !hasLog {
		founding = control.NewFounding(n.cfg.PeerAddress, n.cfg.Founders, absence)
		register = founding.Register
	}
	var id storage.Identity
	err := n.whileListening(ctx, register, func(ctx context.Context) (err error) {
		if founding != nil {
			// If the group exists, the founder has lost its disk and joins like any other replica.
			if form, err = founding.Await(ctx, n.client, n.replicaAddresses, n.log.WithPrefix("control")); form || err != nil {
				return err
			}
		}
		absence.Begin()
		id, err = control.JoinCluster(ctx, n.folder, n.cfg.ID, n.client, n.replicaAddresses, n.log.WithPrefix("control"))
		n.log.Info("Data folder created as a learner.", "identity", id.ID, "cluster", id.Cluster, "err", err)
		return err
	})
	if form && err == nil {
		_, err = control.InitFounder(n.folder, n.cfg.PeerAddress, n.cfg.Founders)
		n.log.Info("Data folder created as a founder.", "founders", n.cfg.Founders, "err", err)
	}
	return err
}

func (n *Node) openFolder() error {
	replica, id, err := control.Open(n.folder, n.cfg.PeerAddress, n.client, n.log.WithPrefix("control"))
	n.replica = replica
	n.identity.Store(&id)
	n.announced.Store(replica)
	return err
}

// whileListening calls f while the node listens on its peer address and takes part in the
// gossip: replicas that know its address from their membership make themselves known to it,
// and through it to processes that know only the founders. register adds other handlers.
func (n *Node) whileListening(ctx context.Context, register func(*peer.Server), f func(context.Context) error) error {
	listener, err := net.Listen("tcp", n.cfg.listenAddress())
	if err != nil {
		return err
	}
	server := peer.NewServer()
	server.Protect(n.dependencies.Peers)
	n.gossip.Register(server)
	register(server)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(ctx, listener) })
	wg.Go(func() { n.gossip.Run(ctx) })
	err = f(ctx)
	cancel()
	listener.Close()
	server.Close()
	wg.Wait()
	return err
}

// releaseFolder lets another process use the data folder. Nothing may run that uses it.
func (n *Node) releaseFolder() {
	if n.folder == nil {
		return
	}
	if err := n.folder.Release(); err != nil {
		n.log.Warn("Data folder could not be released.", "dir", n.cfg.DataFolder, "err", err.Error())
	}
	n.folder = nil
}

func (n *Node) isFounder() bool { return slices.Contains(n.cfg.Founders, n.cfg.PeerAddress) }
