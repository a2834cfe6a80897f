/**
 * Parses, checks and changes the operators' configuration, and decides which revision is in force on a host.
 *
 * Use it to check a configuration before it is applied, to apply it, or to drive a host's configuration decision.
 *
 * @example
 * ```ts
 * import { formatProblems, parseDeployment } from "./index.js";
 *
 * const outcome = parseDeployment(text, { fileName: "sakan.jsonc" });
 * console.log(outcome.isOk() ? "valid" : formatProblems(outcome.error));
 * ```
 *
 * @module
 */
export { checkBaseUrl } from "./_urls.js";
export { type AppliedChange, applyDeployment, type ApplyFailure, type ApplyOptions } from "./apply.js";
export {
    type ConfigurationDecision,
    type ConfigurationOptions,
    type ConfigurationState,
    createConfigurationDecision,
} from "./configuration.js";
export { type ConfigurationEffect, type ConfigurationMessage } from "./messages.js";
export { parseDeployment, type ParseOptions, parseSettings } from "./parse.js";
export { formatProblems, type TextProblem } from "./problems.js";
export { decodeRecordText, encodeRecordText } from "./recordText.js";
export { CONFIGURATION_KEY, decodeConfiguration, readConfiguration, type StoredConfiguration } from "./store.js";
