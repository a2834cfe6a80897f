/**
 * HTTP agent whose connections are replaced together once one of them is found unresponsive.
 *
 * @module
 */
import { Agent } from "undici";

/** An HTTP agent that can be replaced by one with new connections. */
export interface ReplaceableAgent {
    /** The agent for the next call. */
    readonly current: Agent;
    /** Replaces an agent whose connections may be unresponsive; calls in progress on it run to completion. */
    retire(unresponsive: Agent): void;
    /** Closes all connections at once, those of replaced agents included. */
    destroy(): Promise<void>;
}

/**
 * Creates an agent that can be replaced.
 *
 * A fault that makes one connection unresponsive for good, such as a lost entry in an address translation table,
 * usually affects all connections open at that time. Without the replacement, a call would fail on each idle one.
 *
 * @param options Options of every agent that is created.
 *
 * @example
 * ```ts
 * const agent = createReplaceableAgent({ connections: 8 });
 * const { current } = agent;
 * agent.retire(current);
 * ```
 */
export function createReplaceableAgent(options: Agent.Options): ReplaceableAgent {
    const retired = new Set<Agent>();
    let current = new Agent(options);
    return {
        get current() {
            return current;
        },
        retire(unresponsive) {
            if (unresponsive !== current) {
                return;
            }
            current = new Agent(options);
            retired.add(unresponsive);
            void unresponsive.close().finally(() => retired.delete(unresponsive));
        },
        async destroy() {
            await Promise.all([current, ...retired].map(agent => agent.destroy()));
        },
    };
}
