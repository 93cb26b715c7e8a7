Feature: No request is lost, cut or run twice

  Scenario: A daemon stops gracefully under load
    Given a fleet of 4 hosts in 2 regions
    And version 1 is in force
    And 120 urgent requests a second for 5 s
    And 30 filing requests a second for 5 s
    When 1 s pass
    And the daemon of host 4 is asked to stop
    Then the daemon of host 4 ends with exit code 0
    When all load has ended
    Then nothing ran twice and every answer fits

  Scenario: A backend server dies under load
    Given a fleet of 4 hosts in 2 regions
    And version 1 is in force
    And 120 urgent requests a second for 5 s
    And 30 filing requests a second for 5 s
    When 1 s pass
    And the backend server of host 2 is killed
    And 1 s pass
    And the backend server of host 2 is restarted
    And all load has ended
    Then every request was answered
    And no promise was broken
    And at least 99% of urgent requests were served

  Scenario: A daemon dies and returns while callers repeat keyed filings
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 60 filing requests a second for 8 s
    When 1 s pass
    And the daemon of host 2 is killed
    And 2 s pass
    And the daemon of host 2 is restarted
    And all load has ended
    Then nothing ran twice and every answer fits
    And at least 95% of filing requests were served

  Scenario: The platform is out while callers repeat keyed filings
    Given settings "claims.window_s" of 3 s
    And a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 40 filing requests a second for 9 s
    When 4 s pass
    And the platform is out
    And 3 s pass
    And the platform is back
    And all load has ended
    Then every request was answered
    And no promise was broken
    And at least 95% of filing requests were served

  Scenario: The platform hangs while callers repeat keyed filings
    Given settings "claims.window_s" of 3 s
    And a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 40 filing requests a second for 12 s
    When 4 s pass
    And the platform is silent
    And 4 s pass
    And the platform is back
    And all load has ended
    Then every request was answered
    And no promise was broken

  Scenario: Platform out, and the daemon that ran keyed filings dies
    Given settings "claims.window_s" of 3 s
    And a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 60 filing requests a second for 10 s
    When 4 s pass
    And the platform is out
    And 1 s pass
    And the daemon of host 3 is killed
    And 1 s pass
    And the platform is back
    And the daemon of host 3 is restarted
    And all load has ended
    Then nothing ran twice and every answer fits

  Scenario: A paused daemon resumes with old authority
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 60 filing requests a second for 12 s
    When 1 s pass
    And the daemon of host 2 is paused for 7 s
    And all load has ended
    Then nothing ran twice and every answer fits

  Scenario: Connections between daemons go silent
    Given a fleet of 4 hosts in 2 regions behind relays
    And version 1 is in force
    And 100 urgent requests a second for 8 s
    And 30 filing requests a second for 8 s
    When 1 s pass
    And connections to the daemon of host 2 go silent
    And all load has ended
    Then every request was answered
    And no promise was broken
    And at least 97% of urgent requests were served

  Scenario: Connections to a backend server go silent
    Given a fleet of 4 hosts in 2 regions behind relays
    And version 1 is in force
    And 100 urgent requests a second for 8 s
    And 30 filing requests a second for 8 s
    When 1 s pass
    And connections to the server of host 2 go silent
    And all load has ended
    Then every request was answered
    And no promise was broken
    And at least 97% of urgent requests were served

  Scenario: A backend server drains by itself
    Given a fleet of 4 hosts in 2 regions
    And version 1 is in force
    And 100 urgent requests a second for 6 s
    When 1 s pass
    And this moment is marked
    And the backend server of host 1 drains
    And all load has ended
    Then the backend server of host 1 started nothing after 3 s
    And every request was answered
    And no promise was broken
    And at least 99% of urgent requests were served

  Scenario: A slow backend server loses its traffic and regains it
    Given a fleet of 4 hosts in 1 regions
    And version 1 is in force
    And 100 urgent requests a second for 9 s
    When 1 s pass
    And the backend server of host 1 takes 900 ms
    And 4 s pass
    And the backend server of host 1 takes 20 ms
    And all load has ended
    Then at least 95% of urgent requests were served in target
    And no promise was broken

  Scenario Outline: Malformed requests are refused as not run
    Given a fleet of 1 hosts in 1 regions
    And version 1 is in force
    When a caller sends "<request>" with <size> bytes to host 1
    Then the answer is <status> with verdict not-run and cause <cause>

    Examples:
      | request      | size    | status | cause          |
      | GET /nowhere | 0       | 404    | no-route       |
      | POST /urgent | 1100000 | 413    | body-too-large |

  Scenario: Bytes that are no HTTP harm nobody
    Given a fleet of 1 hosts in 1 regions
    And version 1 is in force
    And 50 urgent requests a second for 2 s
    When a caller sends bytes that are no HTTP to host 1
    And all load has ended
    Then the raw answer is a 400
    And every request was answered
    And no promise was broken

  Scenario: A caller leaves while its request runs
    Given a fleet of 1 hosts in 1 regions
    And version 1 is in force
    When a caller sends a request of 20 s to host 1 and leaves
    Then the backend servers have cancelled 1 request within 1 s

  Scenario: Calls go deep while a backend server is down
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    When the backend server of host 2 is killed
    And 30 calls go 15 deep
    Then all attempts together stay under 1.2 times the calls
