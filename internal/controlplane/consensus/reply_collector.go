package consensus

import (
	"context"
	"time"

	"curlewwalk/internal/config"
)

// collectTimeout bounds the collection of replies. It is shorter than messageTimeout: an operator's
// read, or an attempt to join, is to go on without the members that don't answer.
const collectTimeout = messageTimeout / 2 // (ours)

// quorumGracePeriod is how long more replies are waited for once they are a quorum, since they
// may show that the state is committed.
const quorumGracePeriod = 100 * time.Millisecond // (ours)

// quorumProgress is how far replies have come.
type quorumProgress int

const (
	// quorumPending: the replies decide nothing yet.
	quorumPending quorumProgress = iota
	// quorumReached: they are a quorum, but a few more may tell more.
	quorumReached
	// quorumConclusive: no more are needed.
	quorumConclusive
)

// replyCollector sends one message to members and collects their replies, by member ID.
type replyCollector struct {
	client     *memberClient
	message    Message
	recipients []config.Member
	received   chan *Reply
	pending    int
	replies    map[int]Reply
}

// collectReplies sends a message to all known members, and to those that replies name. It
// returns the replies that came in time, or the first that judge finds conclusive. Without a
// judge all members are waited for.
func (c *memberClient) collectReplies(ctx context.Context, message Message, judge func(replies map[int]Reply) quorumProgress) map[int]Reply {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	collector := &replyCollector{client: c, message: message, received: make(chan *Reply), replies: map[int]Reply{}}
	collector.send(ctx, c.local.Acceptor().MemberSets().Union())
	grace := time.NewTimer(messageTimeout) // longer than ctx lives: it matters only once it is reset
	defer grace.Stop()
	progress := quorumPending
	for collector.pending > 0 && collector.receive(ctx, grace.C) {
		if judge == nil {
			continue
		}
		previous := progress
		progress = judge(collector.replies)
		if progress == quorumConclusive {
			break
		}
		if progress == quorumReached && previous != quorumReached {
			grace.Reset(quorumGracePeriod)
		}
	}
	return collector.replies
}

// send sends the message to members that have not been sent it.
func (c *replyCollector) send(ctx context.Context, members []config.Member) {
	for _, member := range members {
		if containsMember(c.recipients, member) {
			continue
		}
		c.recipients = append(c.recipients, member)
		c.pending++
		c.client.actors.Go(ctx, "collect-replies", func(ctx context.Context) {
			reply := c.client.send(ctx, member, c.message)
			select {
			case c.received <- reply:
			case <-ctx.Done():
			}
		})
	}
}

// receive waits for the next reply; false if the time is over.
func (c *replyCollector) receive(ctx context.Context, grace <-chan time.Time) bool {
	select {
	case reply := <-c.received:
		c.pending--
		if reply != nil {
			c.replies[reply.Sender.MemberID] = *reply
			c.send(ctx, reply.MemberSets.Union())
		}
		return true
	case <-grace:
	case <-ctx.Done():
	}
	return false
}
