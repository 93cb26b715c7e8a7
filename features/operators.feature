Feature: Operators work with the command line

  Scenario: From the first version to a rollback
    Given a fleet of 3 hosts in 1 regions
    When the operator runs "check -"
    Then it exits with 0 and prints "no faults"
    When the operator runs "submit -"
    Then it exits with 0 and prints "accepted as version 1"
    When the operator runs "wait --version 1"
    Then it exits with 0 and prints "in force on all 3 daemons"
    When the operator runs "submit - --base 0"
    Then it exits with 3 and prints "came first"
    When the operator runs "rollback 1"
    Then it exits with 0 and prints "accepted as version 2"
    When the operator runs "history --json"
    Then it exits with 0 and prints ""version":2"
    When the operator runs "diff 1 2"
    Then it exits with 0 and prints ""
    When the operator runs "members"
    Then it exits with 0 and prints "h3"
    When the operator runs "status --json"
    Then it exits with 0 and prints ""is_ready":true"
    When the operator runs "wait --version 9 --timeout 0.3"
    Then it exits with 5 and prints "lagging"

  Scenario: The admin side refuses without the token
    Given a fleet of 1 hosts in 1 regions
    When the operator runs "status" with a wrong token
    Then it exits with 1 and prints "bearer token"

  Scenario: Nothing happens while the platform is out
    Given a fleet of 1 hosts in 1 regions
    And the platform is out
    When the operator runs "submit -"
    Then it exits with 4 and prints "platform"

  Scenario: A drained host gets no more work
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 60 urgent requests a second for 5 s
    When 1 s pass
    And this moment is marked
    And the operator runs "drain" on host 1
    And all load has ended
    Then the backend server of host 1 started nothing after 3 s
    And every request was answered
    And no promise was broken
