// Package maintenance parses maintenance windows from iCalendar files (RFC 5545) and decides which
// of them to begin and to end. (DESIGN 17)
//
// Each event of a calendar is a window during which the zone named by its LOCATION is evacuated.
// The libraries go-ical and rrule-go handle iCalendar syntax, recurrence rules and time zones. This
// package bounds their input and reports the lines of violations.
package maintenance
