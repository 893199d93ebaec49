package main

// Maintenance calendars name time zones. The embedded database makes these names work on machines that
// have no time zone database.
import _ "time/tzdata"
