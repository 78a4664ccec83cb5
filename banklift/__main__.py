from banklift.cli.main import main

main()
