// Package maintenance reads maintenance windows from iCalendar files (RFC 5545) and decides which
// of them to begin and to end. (DESIGN 17)
//
// Each event of a calendar is a window during which the zone that its LOCATION names is evacuated.
// Reading iCalendar, recurrence rules and time zones is left to the libraries go-ical and rrule-go;
// this package bounds what they are given and tells the lines of what is wrong.
package maintenance
