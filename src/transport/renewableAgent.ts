/**
 * Connections that are given up together once one of them is found silent.
 *
 * @module
 */
import { Agent } from "undici";

/** A set of connections that can be replaced. */
export interface RenewableAgent {
    /** The agent for the next call. */
    readonly current: Agent;
    /** Replaces an agent whose connections cannot be trusted; calls in progress on it go on to their own ends. */
    retire(suspected: Agent): void;
    /** Ends all connections at once. */
    destroy(): Promise<void>;
}

/**
 * Creates an agent that can be replaced.
 *
 * What makes one connection silent for good, such as a lost entry in a translation table, mostly takes all that stood
 * with it. Without the replacement, each idle one would cost a call.
 *
 * @param options Options of the agents.
 *
 * @example
 * ```ts
 * const agent = createRenewableAgent({ connections: 8 });
 * const { current } = agent;
 * agent.retire(current);
 * ```
 */
export function createRenewableAgent(options: Agent.Options): RenewableAgent {
    const retired = new Set<Agent>();
    let current = new Agent(options);
    return {
        get current() {
            return current;
        },
        retire(suspected) {
            if (suspected !== current) {
                return;
            }
            current = new Agent(options);
            retired.add(suspected);
            void suspected.close().finally(() => retired.delete(suspected));
        },
        async destroy() {
            await Promise.all([current, ...retired].map(agent => agent.destroy()));
        },
    };
}
