"""Programs for demonstrations, measurements and replays."""
