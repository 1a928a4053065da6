package member

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Announcement is an announcement that an endpoint sent directly to the sender of a heartbeat.
type Announcement struct {
	Endpoint model.Endpoint
	// Age is the time since the announcement when the heartbeat was sent.
	Age time.Duration
}

// Heartbeat describes the sending host and carries the announcements and ratings that the receiver hasn't confirmed
// yet. The answer to a heartbeat is a Heartbeat with only Self and RatingsSeen.
type Heartbeat struct {
	Self
	// Sightings are the announcements that endpoints sent directly to the sender.
	Sightings []Announcement
	// Ratings are ratings made at the sender, numbered consecutively up to RatingsTo.
	Ratings []route.Rating
	// RatingsTo is the number of the last rating made at the sender.
	RatingsTo uint64
	// RatingsSeen is the number of the receiver's last rating that the sender has applied.
	RatingsSeen uint64
	// Quarantined lists all versions and classes that the sender has in quarantine.
	Quarantined []route.Subject
}
