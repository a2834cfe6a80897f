import assert from "node:assert/strict";
import { once } from "node:events";
import { type Agent, createServer, request as sendRequest, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { UpstreamAgents } from "./upstreamAgents.js";

const REQUESTS = 30;
const MAXIMUM_CONNECTIONS = 40;

/** Sends requests at the same time and returns the number of connections that they used. */
async function countConnections(agent: Agent): Promise<number> {
    const responses: ServerResponse[] = [];
    let received = 0;
    const server = createServer((_request, response) => {
        received += 1;
        responses.push(response);
        setTimeout(() => responses.splice(0).forEach(each => each.end("done")), 30);
    });
    let connections = 0;
    server.on("connection", () => {
        connections += 1;
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    await Promise.all(Array.from({ length: REQUESTS }, async () => {
        const request = sendRequest({ agent, host: "127.0.0.1", port, path: "/" });
        request.on("response", answer => answer.resume());
        request.end();
        await once(request, "close");
    }));
    server.closeAllConnections();
    server.close();
    assert.equal(received, REQUESTS);
    return connections;
}

test("a host that knew few hosts when it first used a service opens no more than its share once it knows more", async () => {
    const agents = new UpstreamAgents();
    assert.equal(await countConnections(agents.agentFor("llm", MAXIMUM_CONNECTIONS)), REQUESTS);
    agents.setHostCount(4);
    assert.equal(await countConnections(agents.agentFor("llm", MAXIMUM_CONNECTIONS)), 8, "0.85 of 40, by four hosts");
    agents.setHostCount(2);
    assert.equal(await countConnections(agents.agentFor("llm", MAXIMUM_CONNECTIONS)), 17, "two of them have left");
    agents.close();
});

test("a change of the configured connections applies to a service that is in use", async () => {
    const agents = new UpstreamAgents();
    agents.setHostCount(2);
    assert.equal(await countConnections(agents.agentFor("llm", MAXIMUM_CONNECTIONS)), 17);
    assert.equal(await countConnections(agents.agentFor("llm", 20)), 8);
    agents.close();
});
