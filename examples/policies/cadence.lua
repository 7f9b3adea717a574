-- The director at the podium goes first, then planning, then reminders.
function priority(program, call)
    if program.name:find("^rehearsal") then
        return -1
    end
    if program.name:find("^reminder") then
        return 1
    end
    return 0
end

-- Sub-agents look things up; keep them off the zone nearest the podium.
function allow(program, call, runner)
    return not (program.sub_agent and runner.availability_zone == "pnw-a")
end
