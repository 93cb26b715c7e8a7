Feature: The configuration that operators last accepted is in force everywhere

  Scenario: An accepted version is in force everywhere
    Given a fleet of 6 hosts in 3 regions
    When an operator submits a version
    Then the submission is accepted
    And version 1 is in force everywhere within 2 s

  Scenario: Two operators race
    Given a fleet of 2 hosts in 1 regions
    And version 1 is in force
    When operators awa and binta submit at the same time
    Then awa is accepted and binta is told that awa won
    And version 2 is in force everywhere within 2 s

  Scenario: A faulty version is refused whole
    Given a fleet of 2 hosts in 1 regions
    And version 1 is in force
    When an operator submits a faulty version
    Then the submission is faulty
    And the fault is at "$.routes[0].service"
    And version 1 is in force everywhere within 2 s

  Scenario: The platform's answer to the commit is lost
    Given a fleet of 2 hosts in 1 regions
    And version 1 is in force
    When the platform loses the answer of the next write
    And an operator submits a version
    Then the submission is accepted
    And version 2 is in force everywhere within 10 s

  Scenario: The platform is out right after acceptance
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When an operator submits a version
    And the platform is out
    Then version 2 is in force everywhere within 10 s

  Scenario: The platform is out before the submission
    Given a fleet of 2 hosts in 1 regions
    And version 1 is in force
    When the platform is out
    And an operator cannot submit a version
    And the platform is back
    Then version 1 is in force everywhere within 2 s
    And no daemon ever went back to an older version

  Scenario: Daemons restart while the platform is out
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When an operator puts version 2 in force
    And the platform is out
    And the daemons of hosts 1 to 2 are killed
    And the daemons of hosts 1 to 2 are restarted
    Then host 1 has version 2 within 15 s
    And host 2 has version 2 within 15 s
    And no daemon ever went back to an older version

  Scenario: A newcomer without store and peers waits
    Given a fleet of 1 hosts in 1 regions
    And version 1 is in force
    When the platform is out
    And the daemon of host 1 is killed
    And the daemon of host 1 is restarted
    Then host 1 stays without a version for 3 s
    When the platform is back
    Then host 1 has version 1 within 5 s

  Scenario: Versions change while requests are in flight
    Given a fleet of 4 hosts in 2 regions
    And version 1 is in force
    And 150 urgent requests a second for 6 s
    When 20 versions are put in force while load runs
    And all load has ended
    Then version 21 is in force everywhere within 2 s
    And every request was answered
    And no promise was broken
    And no daemon ever went back to an older version

  Scenario: Waiting names the daemon that does not answer
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    When the daemon of host 3 is frozen
    And an operator submits a version
    Then host 3 is named as silent for version 2

  Scenario: Connections to the platform go silent
    Given a fleet of 2 hosts in 1 regions behind relays
    And version 1 is in force
    When connections to the platform go silent
    And an operator submits a version
    Then the submission is accepted
    And version 2 is in force everywhere within 10 s

  Scenario: A daemon without peers in sight gets the version when they return
    Given a fleet of 6 hosts in 3 regions behind relays
    And version 1 is in force
    When nobody reaches the daemon of host 4
    And an operator submits a version
    And the daemon of host 4 is reached again
    Then version 2 is in force everywhere within 10 s
