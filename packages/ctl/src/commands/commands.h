// Registers the commands, one function for each file of this folder.
#ifndef SYCAMOREHINGE_CTL_COMMANDS_COMMANDS_H_
#define SYCAMOREHINGE_CTL_COMMANDS_COMMANDS_H_

#include <nlohmann/json.hpp>

#include "command_line.h"

namespace sycamorehinge {

void AddApplyCommand(command_registry& registry);
void AddBenchCommand(command_registry& registry);
void AddCheckCommand(command_registry& registry);
void AddClusterCommands(command_registry& registry);
void AddDiffCommand(command_registry& registry);
void AddDrainCommand(command_registry& registry);
void AddExplainCommand(command_registry& registry);
void AddHelpSettingsCommand(command_registry& registry);
void AddHistoryCommand(command_registry& registry);
void AddJobCommands(command_registry& registry);
void AddMetricsCommand(command_registry& registry);
void AddPromoteCommand(command_registry& registry);
void AddRequestCommand(command_registry& registry);
void AddStateCommand(command_registry& registry);
void AddSubmitCommand(command_registry& registry);
void AddWaitCommand(command_registry& registry);

// Prints the state of a job.
void PrintJob(command_context& context, const nlohmann::json& job);
// Waits for the end of a job; `timeout` zero waits for ever.
exit_code WaitForJob(command_context& context, const std::string& job, duration timeout);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_COMMANDS_COMMANDS_H_
