package member

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Announcement is an endpoint's announcement that the sender of a heartbeat has heard itself.
type Announcement struct {
	Endpoint model.Endpoint
	// Age is the time since the announcement.
	Age time.Duration
}

// Heartbeat is a heartbeat. Its lists hold what the receiver hasn't confirmed yet.
type Heartbeat struct {
	Self
	Sightings []Announcement
	// Ratings are the sender's own, the last of which has the number RatingsTo.
	Ratings   []route.Rating
	RatingsTo uint64
	// RatingsSeen is the number of the receiver's last rating that the sender has.
	RatingsSeen uint64
	// Quarantined lists all subjects that the sender has in quarantine.
	Quarantined []route.Subject
}
