/**
 * Command line of the demo, which starts a whole system on this machine, shows it at work, and stops it.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {runLineDemo} from './line-demo.js';
import {ProgressReporter} from './progress-reporter.js';
import {runDemo} from './run-demo.js';
import type {DemoOptions} from './types.js';

const command = new Command('demo')
	.description('start a whole system on this machine, show it at work, and stop it')
	.option('--deployment <name>', 'folder in deployments/: furniture or cooperative', 'furniture')
	.addOption(new Option('--wire <name>', 'protocol: with `line`, nodes that reach endpoints themselves; takes no other option').choices(['postgresql', 'line']).default('postgresql'))
	.option('--keep', 'stay up until SIGTERM or SIGINT instead of running the workload', false)
	.option('--ready-file <file>', 'write addresses, credentials and pids to a JSON file once the system is ready')
	.option('--folder <folder>', 'keep settings and logs of the processes in a folder')
	.addHelpText('after', `
Examples:
  npm run demo
  npm run demo -- --deployment cooperative
  npm run demo -- --wire line
  npm run demo -- --keep --ready-file ready.json`);

// A warning printed by the AWS SDK would disturb the progress line and the logs of the processes.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED = 'true';
command.parse();
const {wire, ...options} = command.opts<DemoOptions & {readonly wire: 'postgresql' | 'line'}>();
if (wire === 'line') {
	const {lost} = await runLineDemo(new ProgressReporter());
	process.exitCode = lost === 0 ? 0 : 1;
} else {
	process.exitCode = await runDemo(options);
}
