Feature: A bad version receives a small share of requests

  Background:
    Given a deployment of 2 data centres with 3 daemons and 4 engines

  Scenario: A version that breaks every stream starts next to the old version
    When an operator starts a move from v1 to v2
    And 2 engines of the bad version v2 start
    And 60 callers stream an answer
    Then every caller has its whole answer
    And every promise holds
