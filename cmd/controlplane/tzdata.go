package main

// The time zones that maintenance calendars name, for machines without a time zone database.
import _ "time/tzdata"
