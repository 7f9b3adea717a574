// SPDX-License-Identifier: BSL-1.0
/// \file
/// Names of the HTTP headers that the proxy reads and sets. The defaults are
/// this product's own; a platform supplies a table with its names.
#pragma once

#include <string>
#include <vector>

namespace pepperturn {

struct wire_names
{
    /// Id of one request, repeated in its response.
    std::string m_request_id = "Pepperturn-Call";
    /// Milliseconds until the caller's deadline; towards a runner, the
    /// remaining ones.
    std::string m_deadline = "Pepperturn-Deadline-Ms";
    std::string m_program = "Pepperturn-Program";
    /// One line of turns and calls of a program.
    std::string m_session = "Pepperturn-Session";
    /// Milliseconds until the whole program should be finished.
    std::string m_program_deadline = "Pepperturn-Program-Deadline-Ms";
    /// Tokens that all turns of the program may generate.
    std::string m_token_budget = "Pepperturn-Token-Budget";
    /// Tokens of the prompt, a comma, and the maximum number of tokens that are
    /// generated.
    std::string m_token_count = "Pepperturn-Token-Count";
    /// The caller's estimate of the tokens that will be generated.
    std::string m_length_hint = "Pepperturn-Length-Hint";
    /// Parts of the prompt in order, as ID:TOKENS separated by commas.
    std::string m_prompt_parts = "Pepperturn-Prompt-Parts";
    /// Id of the turn that this one continues.
    std::string m_parent_turn = "Pepperturn-Parent-Turn";
    /// Id of the last event that a caller, or this proxy, has received of a
    /// stream that is resumed.
    std::string m_last_event = "Last-Event-Id";
    /// Id of the intended runner; any other runner refuses the request.
    std::string m_expected_runner = "Pepperturn-Expect-Runner";
    /// In a runner's response: signs it as that runner's own.
    std::string m_signature = "Pepperturn-Signature";
    /// In a runner's response: the request has not run and will not run.
    std::string m_not_run = "Pepperturn-Not-Run";
    /// 0 (most urgent) to 9.
    std::string m_urgency = "Pepperturn-Urgency";
    /// Carries a caller's key, after the name of the scheme.
    std::string m_authorization = "Authorization";
    std::string m_key_scheme = "Bearer";
    /// Name of the workspace that a request belongs to; set here.
    std::string m_workspace = "Pepperturn-Workspace";
    /// Headers that only this product may set towards a runner.
    std::vector<std::string> m_reserved;
};

} // namespace pepperturn
