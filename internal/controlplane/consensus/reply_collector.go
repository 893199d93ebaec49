package consensus

import (
	"context"
	"time"

	"curlewwalk/internal/config"
)

// collectTimeout bounds the collection of replies. It is shorter than messageTimeout so that an
// operator's read, or an attempt to join, continues without the members that do not answer.
const collectTimeout = messageTimeout / 2

// quorumGracePeriod is the time to wait for more replies once a quorum has answered, since
// further replies may show that the state is committed.
const quorumGracePeriod = 100 * time.Millisecond

// quorumProgress describes what the replies received so far determine.
type quorumProgress int

const (
	// quorumPending means that the replies are not a quorum yet.
	quorumPending quorumProgress = iota
	// quorumReached means that the replies are a quorum, but more replies may add information.
	quorumReached
	// quorumConclusive means that no more replies are needed.
	quorumConclusive
)

// replyCollector sends one message to members and collects their replies by member ID.
type replyCollector struct {
	client     *memberClient
	message    Message
	recipients []config.Member
	received   chan *Reply
	pending    int
	replies    map[int]Reply
}

// collectReplies sends a message to all known members and to the members that replies list. It
// returns the replies received in time, or earlier those that judge finds conclusive. If judge
// is nil, it waits for all members.
func (c *memberClient) collectReplies(ctx context.Context, message Message, judge func(replies map[int]Reply) quorumProgress) map[int]Reply {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	collector := &replyCollector{client: c, message: message, received: make(chan *Reply), replies: map[int]Reply{}}
	collector.send(ctx, c.local.Acceptor().MemberSets().Union())
	grace := time.NewTimer(messageTimeout) // expires after ctx unless it is reset
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

// send sends the message to the members that have not been sent it.
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

// receive waits for the next reply. It returns false if the timeout or the grace period has
// expired.
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
