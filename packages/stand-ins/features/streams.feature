Feature: Streams survive the loss of engines, daemons and data centres

  Background:
    Given a deployment of 3 data centres with 3 daemons and 6 engines

  Scenario: An engine is killed while it streams
    When 6 callers stream an answer
    And an engine that serves a caller is killed
    Then every caller has its whole answer
    And every promise holds

  Scenario: A daemon is killed while it streams
    When 6 callers stream an answer
    And the daemon of the first caller is killed
    Then every caller has its whole answer
    And every promise holds

  Scenario: A data centre is reclaimed while streams and postings are in flight
    When 6 callers stream an answer
    And 3 callers send a posting
    And data centre north-2 is reclaimed with 2500 ms of notice
    And 6 callers stream an answer
    Then every caller has its whole answer
    And every posting is told "ran"
    And the ledger has run 3 postings
    And every promise holds

  Scenario: A second data centre is reclaimed while the platform refuses starts
    When 6 callers stream an answer
    And data centre north-2 is reclaimed with 2500 ms of notice
    And the platform refuses starts
    And 6 callers stream an answer
    And data centre north-3 is reclaimed with 2500 ms of notice
    And 3 callers stream an answer
    Then every caller has its whole answer
    And every promise holds
